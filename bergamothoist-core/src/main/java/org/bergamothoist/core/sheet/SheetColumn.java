package org.bergamothoist.core.sheet;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The columns of a sheet, in the order in which they are written. */
enum SheetColumn {
    ORGANISATION,
    BASE_VERSION,
    KEY_DIGEST,
    KIND,
    MODEL,
    ADAPTER,
    VERSION,
    SERVICE,
    PATH_PREFIX,
    NON_IDEMPOTENT,
    REQUESTS_PER_SECOND,
    CONCURRENT_STREAMS,
    WEIGHT;

    /** Returns the name of the column in the header row. */
    String header() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<SheetColumn> ofHeader(String header) {
        return Arrays.stream(values())
                .filter(column -> column.header().equalsIgnoreCase(header))
                .findFirst();
    }
}
