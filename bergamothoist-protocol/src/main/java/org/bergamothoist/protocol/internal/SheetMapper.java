package org.bergamothoist.protocol.internal;

import java.util.List;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.ModelEntitlement;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.ServiceEntitlement;
import org.bergamothoist.protocol.generated.StateMessages;

/** Converts the entries of sheets. */
final class SheetMapper {

    private SheetMapper() {}

    static StateMessages.OrganisationState toMessage(OrganisationState state) {
        return StateMessages.OrganisationState.newBuilder()
                .setEntry(toMessage(state.entry()))
                .setVersion(state.version())
                .setOffice(state.office())
                .build();
    }

    static OrganisationState toOrganisationState(StateMessages.OrganisationState message) {
        return new OrganisationState(
                toEntry(message.getEntry()), message.getVersion(), message.getOffice());
    }

    static StateMessages.OrganisationEntry toMessage(OrganisationEntry entry) {
        StateMessages.OrganisationEntry.Builder builder =
                StateMessages.OrganisationEntry.newBuilder()
                        .setOrganisation(entry.organisation().value())
                        .setBaseVersion(entry.baseVersion())
                        .setKeyDigest(entry.keyDigest())
                        .setLimits(toMessage(entry.limits()));
        for (ModelEntitlement entitlement : entry.models()) {
            builder.addModels(
                    StateMessages.Entitlement.newBuilder()
                            .setModel(toMessage(entitlement.key()))
                            .setNonIdempotent(entitlement.nonIdempotent()));
        }
        for (ServiceEntitlement entitlement : entry.services()) {
            builder.addServices(
                    StateMessages.ServiceEntitlement.newBuilder()
                            .setService(entitlement.service())
                            .setPathPrefix(entitlement.pathPrefix())
                            .setNonIdempotent(entitlement.nonIdempotent()));
        }
        return builder.build();
    }

    static OrganisationEntry toEntry(StateMessages.OrganisationEntry message) {
        List<ModelEntitlement> models =
                message.getModelsList().stream()
                        .map(
                                entitlement ->
                                        new ModelEntitlement(
                                                toModelKey(entitlement.getModel()),
                                                entitlement.getNonIdempotent()))
                        .toList();
        List<ServiceEntitlement> services =
                message.getServicesList().stream()
                        .map(
                                entitlement ->
                                        new ServiceEntitlement(
                                                entitlement.getService(),
                                                entitlement.getPathPrefix(),
                                                entitlement.getNonIdempotent()))
                        .toList();
        return new OrganisationEntry(
                new OrganisationId(message.getOrganisation()),
                message.getBaseVersion(),
                message.getKeyDigest(),
                models,
                services,
                new OrganisationLimits(
                        message.getLimits().getRequestsPerSecond(),
                        message.getLimits().getConcurrentStreams(),
                        message.getLimits().getWeight()));
    }

    private static StateMessages.Limits toMessage(OrganisationLimits limits) {
        return StateMessages.Limits.newBuilder()
                .setRequestsPerSecond(limits.requestsPerSecond())
                .setConcurrentStreams(limits.concurrentStreams())
                .setWeight(limits.weight())
                .build();
    }

    private static StateMessages.Model toMessage(ModelKey key) {
        return StateMessages.Model.newBuilder()
                .setModel(key.model())
                .setAdapter(key.adapter())
                .setVersion(key.version())
                .build();
    }

    private static ModelKey toModelKey(StateMessages.Model message) {
        return new ModelKey(message.getModel(), message.getAdapter(), message.getVersion());
    }
}
