package org.ragwortpitch.client;

import java.io.PrintStream;
import org.ragwortpitch.http.Json;

/**
 * Output streams of a command, separate so that scripts can read the results alone.
 *
 * @param results  receives results
 * @param progress receives progress and errors
 */
record Output(PrintStream results, PrintStream progress) {

    /**
     * Prints a part of the result.
     *
     * @param text the text, including its line ends
     */
    void print(String text) {
        results.print(text);
        results.flush();
    }

    /**
     * Prints a result as one line of JSON.
     */
    void printJson(Object value) {
        results.println(Json.write(value));
    }

    /**
     * Prints a line of progress or an error.
     */
    void printProgress(String line) {
        progress.println(line);
    }
}
