package org.bergamothoist.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/** Computes fingerprints of request contents and digests of caller keys. */
public final class FingerprintCalculator {

    /** Size of a digest of names, in bytes; targets keep it with each prompt part. */
    private static final int NAMES_DIGEST_BYTES = 12;

    private FingerprintCalculator() {}

    /** Returns the fingerprint of an organisation's prompt for a model. */
    public static Fingerprint ofPrompt(
            OrganisationId organisation, ModelKey key, byte[] promptBytes) {
        MessageDigest digest = sha256();
        update(digest, organisation.value());
        update(digest, key.toString());
        return new Fingerprint(HexFormat.of().formatHex(digest.digest(promptBytes)));
    }

    /**
     * Returns the fingerprint of a request that is routed by host and path.
     *
     * @param host host of the route or name of the service; the host that the caller states may
     *     have the port of the daemon it has connected to
     * @param requestTarget path and query as sent
     * @param organisation name of the caller's organisation, or empty text for an anonymous caller
     */
    public static Fingerprint ofRequest(
            String method,
            String host,
            String requestTarget,
            String organisation,
            ByteBuffer body) {
        MessageDigest digest = sha256();
        update(digest, method);
        update(digest, host.toLowerCase(Locale.ROOT));
        update(digest, requestTarget);
        update(digest, organisation);
        digest.update(body.duplicate());
        return new Fingerprint(HexFormat.of().formatHex(digest.digest()));
    }

    /**
     * Returns the fingerprint of a part of prompts, which is the same for all callers, models and
     * routes of a service.
     *
     * @param part key of the part, compared without regard to case
     */
    public static Fingerprint ofPart(String service, String part) {
        MessageDigest digest = sha256();
        update(digest, service);
        update(digest, part.toLowerCase(Locale.ROOT));
        return Fingerprint.ofBytes(Fingerprint.Subject.PART, digest.digest());
    }

    /** Returns a digest, in hexadecimal, that differs between lists of names in any script. */
    public static String ofNames(List<String> names) {
        MessageDigest digest = sha256();
        names.forEach(name -> update(digest, name));
        return HexFormat.of().formatHex(digest.digest(), 0, NAMES_DIGEST_BYTES);
    }

    /**
     * Returns the SHA-256 of a caller key in hexadecimal, the form in which configuration sheets
     * contain it.
     */
    public static String keyDigest(String callerKey) {
        return HexFormat.of()
                .formatHex(sha256().digest(callerKey.getBytes(StandardCharsets.UTF_8)));
    }

    private static void update(MessageDigest digest, String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(
                    "SHA-256 is not available in this Java runtime", exception);
        }
    }
}
