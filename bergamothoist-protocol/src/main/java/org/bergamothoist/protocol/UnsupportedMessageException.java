package org.bergamothoist.protocol;

/** Reports a well-formed message of a kind that only newer versions know. */
public class UnsupportedMessageException extends ProtocolException {

    public UnsupportedMessageException(String message) {
        super(message);
    }
}
