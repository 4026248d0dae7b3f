package org.bergamothoist.cli.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.sheet.ModelEntitlement;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.ParsedSheet;
import org.bergamothoist.core.sheet.SheetCsv;
import org.bergamothoist.daemon.settings.OperatorKey;
import org.bergamothoist.daemon.settings.Weightings;
import org.bergamothoist.standin.Deployment;
import org.bergamothoist.standin.EngineSettings;
import org.bergamothoist.standin.PlatformSettings;
import org.bergamothoist.standin.client.ExampleKeys;

/**
 * One of the example deployments: sizes, sheet, operators and weightings.
 *
 * @param sheet organisations of the sheet, in the order of their weights, the largest first
 * @param operators operators of the two offices, with example keys
 */
public record ExampleDeployment(
        Deployment sizes,
        List<OrganisationEntry> sheet,
        List<OperatorKey> operators,
        Weightings weightings) {

    /** Tokens of a cache block of the engine stand-ins. */
    public static final int BLOCK_TOKENS = 64;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    public ExampleDeployment {
        sheet = List.copyOf(sheet);
        operators = List.copyOf(operators);
    }

    /**
     * Reads a deployment.
     *
     * @param sizes sizes and names of the deployment, which also name its files
     */
    public static ExampleDeployment load(Deployment sizes) {
        JsonNode settings = settings(sizes);
        ParsedSheet sheet = SheetCsv.parse(resource(sizes, "sheet.csv"));
        List<OrganisationEntry> entries = new ArrayList<>(sheet.entries());
        entries.sort((one, other) -> other.limits().weight() - one.limits().weight());
        List<OperatorKey> operators = new ArrayList<>();
        for (JsonNode operator : settings.path("operators")) {
            String name = operator.path("name").asText();
            operators.add(
                    new OperatorKey(
                            name,
                            operator.path("office").asText(),
                            FingerprintCalculator.keyDigest(ExampleKeys.operatorKey(name))));
        }
        JsonNode weightings = settings.path("weightings");
        return new ExampleDeployment(
                sizes,
                entries,
                operators,
                new Weightings(
                        weightings.path("tail_latency").asDouble(),
                        weightings.path("recomputation").asDouble()));
    }

    /** Returns settings of stand-ins whose engines have all models of the sheet. */
    public PlatformSettings platform(long seed) {
        return PlatformSettings.defaults(sizes.model())
                .with(EngineSettings.defaults(models()).withSeed(seed));
    }

    /** Returns all models, adapters and versions that the sheet names. */
    public List<ModelKey> models() {
        return sheet.stream()
                .flatMap(entry -> entry.models().stream())
                .map(ModelEntitlement::key)
                .distinct()
                .toList();
    }

    /** Returns the deployment's example settings file. */
    static byte[] settingsFile(Deployment sizes) {
        return resource(sizes, "settings.json");
    }

    private static JsonNode settings(Deployment sizes) {
        try {
            return MAPPER.readTree(settingsFile(sizes));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static byte[] resource(Deployment sizes, String file) {
        String path = "/deployments/" + sizes.name() + "/" + file;
        try (InputStream stream = ExampleDeployment.class.getResourceAsStream(path)) {
            if (stream == null) {
                throw new IllegalStateException("resource " + path + " is missing");
            }
            return stream.readAllBytes();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
