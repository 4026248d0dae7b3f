package org.bergamothoist.daemon.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Splits the path of a call to a plain service. The path below the service is brought into one
 * form, because entitlements and marks are matched by prefix: an encoded or dotted spelling of a
 * booking path must not escape its mark.
 *
 * @param service name of the service
 * @param pathAndQuery path below the service, starting with a slash, with the query
 */
record ServicePath(String service, String pathAndQuery) {

    /** Path below which the services are. */
    static final String PREFIX = "/v1/services/";

    private static final String UNRESERVED_MARKS = "-._~";
    private static final int HEXADECIMAL = 16;
    private static final int ESCAPE_LENGTH = 3;

    /** Parses a raw request path and query; fails with {@link InvalidRequestException}. */
    static ServicePath parse(String rawPath, String rawQuery) {
        if (!rawPath.startsWith(PREFIX)) {
            throw new InvalidRequestException("path must start with " + PREFIX);
        }
        String rest = rawPath.substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String service = decode(slash < 0 ? rest : rest.substring(0, slash));
        String path = slash < 0 ? "/" : normalise(rest.substring(slash));
        if (service.isEmpty()) {
            throw new InvalidRequestException("path names no service");
        }
        return new ServicePath(service, rawQuery == null ? path : path + "?" + rawQuery);
    }

    private static String normalise(String rawPath) {
        StringBuilder path = new StringBuilder();
        int index = 0;
        while (index < rawPath.length()) {
            char next = rawPath.charAt(index);
            if (next != '%') {
                path.append(next);
                index++;
                continue;
            }
            int value = escaped(rawPath, index);
            if (isUnreserved(value)) {
                path.append((char) value);
            } else {
                path.append(
                        rawPath.substring(index, index + ESCAPE_LENGTH).toUpperCase(Locale.ROOT));
            }
            index += ESCAPE_LENGTH;
        }
        refuseAmbiguity(path.toString());
        return path.toString();
    }

    private static void refuseAmbiguity(String path) {
        if (path.contains("%2F") || path.contains("%5C") || path.contains("\\")) {
            throw new InvalidRequestException("path contains an encoded separator");
        }
        String[] segments = path.substring(1).split("/", -1);
        for (int index = 0; index < segments.length; index++) {
            String name = segments[index].split(";", 2)[0];
            boolean last = index == segments.length - 1;
            boolean empty = name.isEmpty() && !(last && segments[index].isEmpty());
            if (empty || ".".equals(name) || "..".equals(name)) {
                throw new InvalidRequestException("path contains an empty or dot segment");
            }
        }
    }

    private static int escaped(String text, int index) {
        try {
            return Integer.parseInt(text.substring(index + 1, index + ESCAPE_LENGTH), HEXADECIMAL);
        } catch (IndexOutOfBoundsException | NumberFormatException exception) {
            throw new InvalidRequestException("path contains a broken escape");
        }
    }

    private static boolean isUnreserved(int value) {
        return value >= 'a' && value <= 'z'
                || value >= 'A' && value <= 'Z'
                || value >= '0' && value <= '9'
                || UNRESERVED_MARKS.indexOf(value) >= 0;
    }

    private static String decode(String segment) {
        try {
            return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            throw new InvalidRequestException("path contains a broken escape");
        }
    }
}
