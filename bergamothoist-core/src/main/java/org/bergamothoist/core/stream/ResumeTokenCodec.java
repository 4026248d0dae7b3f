package org.bergamothoist.core.stream;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Instant;
import java.util.Arrays;
import java.util.Base64;
import java.util.UUID;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.quarantine.Fingerprint;

/** Encodes resume tokens as text and authenticates them with HMAC-SHA-256. */
public final class ResumeTokenCodec {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAC_BYTES = 32;
    private static final int MAXIMUM_ENCODED_LENGTH = 2048;
    private static final byte FORMAT_VERSION = 1;

    /** Separates the MACs of resume tokens from other uses of the deployment key. */
    private static final byte[] MAC_CONTEXT = "resume-token".getBytes();

    private final SecretKeySpec key;

    /** Creates a codec that authenticates tokens with the deployment's key. */
    public ResumeTokenCodec(byte[] deploymentKey) {
        this.key = new SecretKeySpec(deploymentKey, ALGORITHM);
    }

    /** Returns the token encoded as URL-safe base64 without padding. */
    public String encode(ResumeToken token) {
        byte[] body = serialise(token);
        byte[] mac = computeMac(body);
        byte[] encoded = Arrays.copyOf(body, body.length + MAC_BYTES);
        System.arraycopy(mac, 0, encoded, body.length, MAC_BYTES);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(encoded);
    }

    /**
     * Decodes a token and verifies its authenticity and expiry.
     *
     * @throws BergamothoistException with {@code INVALID_RESUME_TOKEN} if it is malformed, forged
     *     or expired
     */
    public ResumeToken decode(String text, Instant now) {
        if (text == null || text.length() > MAXIMUM_ENCODED_LENGTH) {
            throw invalidToken(
                    "the resume token is missing or longer than "
                            + MAXIMUM_ENCODED_LENGTH
                            + " characters");
        }
        byte[] encoded = decodeBase64(text);
        if (encoded.length <= MAC_BYTES) {
            throw invalidToken("the resume token is too short");
        }
        byte[] body = Arrays.copyOf(encoded, encoded.length - MAC_BYTES);
        byte[] mac = Arrays.copyOfRange(encoded, body.length, encoded.length);
        if (!MessageDigest.isEqual(mac, computeMac(body))) {
            throw invalidToken("the resume token is not authentic");
        }
        ResumeToken token = deserialise(body);
        if (token.expiresAt().isBefore(now)) {
            throw invalidToken("the resume token has expired");
        }
        return token;
    }

    private static byte[] decodeBase64(String text) {
        try {
            return Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException exception) {
            throw invalidToken("the resume token is not valid base64");
        }
    }

    private static byte[] serialise(ResumeToken token) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(FORMAT_VERSION);
            output.writeUTF(token.organisation().value());
            output.writeLong(token.requestId().value().getMostSignificantBits());
            output.writeLong(token.requestId().value().getLeastSignificantBits());
            output.writeUTF(token.fingerprint().hexadecimal());
            output.writeUTF(token.target().value());
            output.writeUTF(token.incarnation().value());
            output.writeUTF(token.streamId());
            output.writeUTF(token.modelKey().model());
            output.writeUTF(token.modelKey().adapter());
            output.writeUTF(token.modelKey().version());
            output.writeBoolean(token.idempotent());
            output.writeInt(token.pieceOffset());
            output.writeLong(token.expiresAt().toEpochMilli());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return bytes.toByteArray();
    }

    private static ResumeToken deserialise(byte[] body) {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(body))) {
            if (input.readByte() != FORMAT_VERSION) {
                throw invalidToken("the resume token has an unknown format");
            }
            return new ResumeToken(
                    new OrganisationId(input.readUTF()),
                    new RequestId(new UUID(input.readLong(), input.readLong())),
                    new Fingerprint(input.readUTF()),
                    new TargetId(input.readUTF()),
                    new EngineIncarnation(input.readUTF()),
                    input.readUTF(),
                    new ModelKey(input.readUTF(), input.readUTF(), input.readUTF()),
                    input.readBoolean(),
                    input.readInt(),
                    Instant.ofEpochMilli(input.readLong()));
        } catch (IOException | IllegalArgumentException exception) {
            throw invalidToken("the resume token is malformed");
        }
    }

    private byte[] computeMac(byte[] body) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(MAC_CONTEXT);
            return mac.doFinal(body);
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException(
                    ALGORITHM + " is not supported by this Java runtime", exception);
        }
    }

    private static BergamothoistException invalidToken(String message) {
        return new BergamothoistException(ErrorCode.INVALID_RESUME_TOKEN, message);
    }
}
