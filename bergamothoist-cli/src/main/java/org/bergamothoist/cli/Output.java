package org.bergamothoist.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import org.bergamothoist.daemon.http.WireModule;

/** Prints a command's results as text or JSON. */
final class Output {

    private static final ObjectMapper MAPPER = WireModule.configure(new ObjectMapper());

    private final PrintWriter writer;

    Output(PrintWriter writer) {
        this.writer = writer;
    }

    /** Prints a line of text. */
    void line(Object value) {
        writer.println(value);
    }

    /** Prints text that ends its own lines. */
    void text(String text) {
        writer.print(text);
        writer.flush();
    }

    /** Prints a value as one JSON document. */
    void json(Object value) {
        try {
            writer.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("results can always be written", exception);
        }
    }
}
