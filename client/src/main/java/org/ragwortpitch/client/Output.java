package org.ragwortpitch.client;

import java.io.PrintStream;
import org.ragwortpitch.http.Json;

/**
 * What a command prints: results to one stream, progress to another.
 *
 * @param results  takes results
 * @param progress takes progress and errors
 */
record Output(PrintStream results, PrintStream progress) {

    /**
     * Prints a result.
     *
     * @param text the text, with its line ends
     */
    void print(String text) {
        results.print(text);
        results.flush();
    }

    /**
     * Prints a result as JSON.
     *
     * @param value the result
     */
    void json(Object value) {
        results.println(Json.write(value));
    }

    /**
     * Prints progress.
     *
     * @param line the line
     */
    void note(String line) {
        progress.println(line);
    }
}
