package org.bergamothoist.core.sheet;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * One row of a sheet. The methods that read cells return nothing for an invalid cell and add a
 * validation error to the list that is shared by all rows.
 */
final class SheetRow {

    private static final String MODEL_KIND = "model";
    private static final String SERVICE_KIND = "service";
    private static final int MAXIMUM_NAME_LENGTH = 128;
    private static final int MAXIMUM_PATH_LENGTH = 512;
    private static final int MAXIMUM_LIMIT = 1_000_000;
    private static final int MAXIMUM_WEIGHT = 10_000;
    private static final Pattern DIGEST = Pattern.compile("[0-9a-fA-F]{64}");
    private static final Pattern NAME = Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{M}\\p{N}._-]*");
    private static final Pattern PATH = Pattern.compile("/[^\\s?#\\\\]*");

    private final int rowNumber;
    private final Map<SheetColumn, String> cells;
    private final List<SheetValidationError> errors;

    SheetRow(int rowNumber, Map<SheetColumn, String> cells, List<SheetValidationError> errors) {
        this.rowNumber = rowNumber;
        this.cells = new EnumMap<>(cells);
        this.errors = errors;
    }

    int rowNumber() {
        return rowNumber;
    }

    /** Adds a validation error for a cell of this row. */
    void addError(SheetColumn column, String reason) {
        errors.add(new SheetValidationError(rowNumber, column.header(), reason));
    }

    String text(SheetColumn column) {
        return cells.getOrDefault(column, "");
    }

    private Optional<String> required(SheetColumn column) {
        String text = text(column);
        if (text.isEmpty()) {
            addError(column, "is required");
            return Optional.empty();
        }
        return Optional.of(text);
    }

    Optional<OrganisationId> organisation() {
        return required(SheetColumn.ORGANISATION)
                .flatMap(text -> parse(SheetColumn.ORGANISATION, text, OrganisationId::new));
    }

    private <T> Optional<T> parse(
            SheetColumn column, String text, Function<String, T> constructor) {
        try {
            return Optional.of(constructor.apply(text));
        } catch (IllegalArgumentException exception) {
            addError(column, exception.getMessage());
            return Optional.empty();
        }
    }

    Optional<String> keyDigest() {
        Optional<String> text = required(SheetColumn.KEY_DIGEST);
        if (text.isPresent() && !DIGEST.matcher(text.get()).matches()) {
            addError(SheetColumn.KEY_DIGEST, "must be 64 hexadecimal digits");
            return Optional.empty();
        }
        return text.map(digest -> digest.toLowerCase(Locale.ROOT));
    }

    Optional<Long> baseVersion() {
        return integer(SheetColumn.BASE_VERSION, 0, Long.MAX_VALUE);
    }

    Optional<OrganisationLimits> limits() {
        Optional<Long> requests = integer(SheetColumn.REQUESTS_PER_SECOND, 1, MAXIMUM_LIMIT);
        Optional<Long> streams = integer(SheetColumn.CONCURRENT_STREAMS, 1, MAXIMUM_LIMIT);
        Optional<Long> weight = integer(SheetColumn.WEIGHT, 1, MAXIMUM_WEIGHT);
        if (requests.isEmpty() || streams.isEmpty() || weight.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new OrganisationLimits(
                        requests.get().intValue(),
                        streams.get().intValue(),
                        weight.get().intValue()));
    }

    private Optional<Long> integer(SheetColumn column, long minimum, long maximum) {
        Optional<String> text = required(column);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            long value = Long.parseLong(text.get());
            if (value >= minimum && value <= maximum) {
                return Optional.of(value);
            }
            addError(column, "must be from " + minimum + " to " + maximum);
        } catch (NumberFormatException exception) {
            addError(column, "is not a whole number: '" + text.get() + "'");
        }
        return Optional.empty();
    }

    /** Returns whether all entitlement columns of the row are blank. */
    boolean hasNoEntitlement() {
        return text(SheetColumn.KIND).isEmpty()
                && text(SheetColumn.MODEL).isEmpty()
                && text(SheetColumn.ADAPTER).isEmpty()
                && text(SheetColumn.VERSION).isEmpty()
                && text(SheetColumn.SERVICE).isEmpty()
                && text(SheetColumn.PATH_PREFIX).isEmpty()
                && text(SheetColumn.NON_IDEMPOTENT).isEmpty();
    }

    /** Reads the row's entitlement and adds it to the list of its kind. */
    void readEntitlement(List<ModelEntitlement> models, List<ServiceEntitlement> services) {
        Optional<String> kind = required(SheetColumn.KIND);
        if (kind.isEmpty()) {
            return;
        }
        if (kind.get().equalsIgnoreCase(MODEL_KIND)) {
            model().ifPresent(model -> addModel(model, models));
        } else if (kind.get().equalsIgnoreCase(SERVICE_KIND)) {
            service().ifPresent(service -> addService(service, services));
        } else {
            addError(SheetColumn.KIND, "must be model or service, not '" + kind.get() + "'");
        }
    }

    private void addModel(ModelEntitlement model, List<ModelEntitlement> models) {
        if (models.stream().anyMatch(other -> other.key().equals(model.key()))) {
            addError(SheetColumn.MODEL, "names the same model, adapter and version again");
            return;
        }
        models.add(model);
    }

    private void addService(ServiceEntitlement service, List<ServiceEntitlement> services) {
        boolean repeated =
                services.stream()
                        .filter(other -> other.service().equals(service.service()))
                        .anyMatch(other -> other.pathPrefix().equals(service.pathPrefix()));
        if (repeated) {
            addError(SheetColumn.PATH_PREFIX, "names the same service and path again");
            return;
        }
        services.add(service);
    }

    private Optional<ModelEntitlement> model() {
        Optional<Boolean> nonIdempotent = nonIdempotent();
        Optional<String> model = required(SheetColumn.MODEL);
        Optional<String> version = required(SheetColumn.VERSION);
        String adapter = text(SheetColumn.ADAPTER);
        boolean blank = requireBlank(SheetColumn.SERVICE) & requireBlank(SheetColumn.PATH_PREFIX);
        if (model.isEmpty() || version.isEmpty()) {
            return Optional.empty();
        }
        String adapterOrBase = adapter.isEmpty() ? ModelKey.NO_ADAPTER : adapter;
        Optional<ModelKey> key =
                parse(
                        SheetColumn.MODEL,
                        model.get(),
                        text -> new ModelKey(text, adapterOrBase, version.get()));
        if (!blank || nonIdempotent.isEmpty()) {
            return Optional.empty();
        }
        return key.map(value -> new ModelEntitlement(value, nonIdempotent.get()));
    }

    private Optional<ServiceEntitlement> service() {
        Optional<Boolean> nonIdempotent = nonIdempotent();
        Optional<String> service = required(SheetColumn.SERVICE).filter(this::checkServiceName);
        Optional<String> path = required(SheetColumn.PATH_PREFIX).filter(this::checkPath);
        boolean blank =
                requireBlank(SheetColumn.MODEL)
                        & requireBlank(SheetColumn.ADAPTER)
                        & requireBlank(SheetColumn.VERSION);
        if (!blank || nonIdempotent.isEmpty() || service.isEmpty() || path.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ServiceEntitlement(service.get(), path.get(), nonIdempotent.get()));
    }

    private boolean checkServiceName(String text) {
        boolean valid = text.length() <= MAXIMUM_NAME_LENGTH && NAME.matcher(text).matches();
        if (!valid) {
            addError(SheetColumn.SERVICE, "is not a valid service name: '" + text + "'");
        }
        return valid;
    }

    private boolean checkPath(String text) {
        boolean valid =
                text.length() <= MAXIMUM_PATH_LENGTH
                        && PATH.matcher(text).matches()
                        && !(text + "/").contains("/../");
        if (!valid) {
            addError(
                    SheetColumn.PATH_PREFIX,
                    "must start with a slash and have no query, blank or '..': '" + text + "'");
        }
        return valid;
    }

    private boolean requireBlank(SheetColumn column) {
        if (text(column).isEmpty()) {
            return true;
        }
        addError(column, "must be blank for kind " + text(SheetColumn.KIND));
        return false;
    }

    private Optional<Boolean> nonIdempotent() {
        Optional<String> text = required(SheetColumn.NON_IDEMPOTENT);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        if (text.get().equalsIgnoreCase("yes")) {
            return Optional.of(true);
        }
        if (text.get().equalsIgnoreCase("no")) {
            return Optional.of(false);
        }
        addError(SheetColumn.NON_IDEMPOTENT, "must be yes or no, not '" + text.get() + "'");
        return Optional.empty();
    }
}
