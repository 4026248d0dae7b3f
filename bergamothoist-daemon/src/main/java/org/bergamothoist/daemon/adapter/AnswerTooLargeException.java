package org.bergamothoist.daemon.adapter;

import org.bergamothoist.core.platform.PlatformException;

/** Reports that an outside system's answer exceeds the bound. */
class AnswerTooLargeException extends PlatformException {

    AnswerTooLargeException(int bound) {
        super("answer is larger than " + bound + " bytes");
    }
}
