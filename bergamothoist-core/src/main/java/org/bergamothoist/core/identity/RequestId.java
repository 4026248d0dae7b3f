package org.bergamothoist.core.identity;

import java.time.Instant;
import java.util.UUID;
import java.util.random.RandomGenerator;

/** Identifies a request by a UUID of version 7, which contains its creation time. */
public record RequestId(UUID value) {

    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIMESTAMP_SHIFT = 16;
    private static final long VERSION_BITS = 0x7000L;
    private static final long RANDOM_HIGH_MASK = 0x0FFFL;
    private static final long VARIANT_BITS = 0x8000000000000000L;
    private static final long RANDOM_LOW_MASK = 0x3FFFFFFFFFFFFFFFL;

    public RequestId {
        if (value == null || value.version() != TIME_ORDERED_VERSION) {
            throw new IllegalArgumentException(
                    "request identifier must be a UUID of version 7: " + value);
        }
    }

    /**
     * Parses the canonical text form of a UUID of version 7.
     *
     * @throws IllegalArgumentException if the text is not a UUID of version 7
     */
    public static RequestId parse(String text) {
        return new RequestId(UUID.fromString(text));
    }

    /** Creates an identifier with the given creation time. */
    public static RequestId create(Instant creationTime, RandomGenerator random) {
        long high =
                (creationTime.toEpochMilli() << TIMESTAMP_SHIFT)
                        | VERSION_BITS
                        | (random.nextLong() & RANDOM_HIGH_MASK);
        long low = VARIANT_BITS | (random.nextLong() & RANDOM_LOW_MASK);
        return new RequestId(new UUID(high, low));
    }

    /** Returns the creation time, to the millisecond. */
    public Instant creationTime() {
        return Instant.ofEpochMilli(value.getMostSignificantBits() >>> TIMESTAMP_SHIFT);
    }

    @Override
    public String toString() {
        return value.toString();
    }
}
