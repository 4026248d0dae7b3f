package org.bergamothoist.standin.client;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** The keys of the example sheets and settings; for demonstrations and tests only. */
public final class ExampleKeys {

    private static final String SUFFIX = "-caller-key";

    private static final String OPERATOR_SUFFIX = "-operator-key";

    private ExampleKeys() {}

    /** Returns the key of an operator of the example settings. */
    public static String operatorKey(String operator) {
        return operator + OPERATOR_SUFFIX;
    }

    /** Returns the key of an organisation: its name in base64, since header values are ASCII. */
    public static String callerKey(String organisation) {
        byte[] name = organisation.getBytes(StandardCharsets.UTF_8);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(name) + SUFFIX;
    }

    /** Returns the organisation that an example key belongs to. */
    public static String organisation(String callerKey) {
        String encoded = callerKey.substring(0, callerKey.length() - SUFFIX.length());
        return new String(Base64.getUrlDecoder().decode(encoded), StandardCharsets.UTF_8);
    }
}
