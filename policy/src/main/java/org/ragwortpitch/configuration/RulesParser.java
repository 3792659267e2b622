package org.ragwortpitch.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads rules from text: {@code kind id name=value ... # who asked}. Blank lines and lines of comment only are passed
 * over.
 */
public final class RulesParser {

    /**
     * The errors found so far.
     */
    private final List<RuleError> errors = new ArrayList<>();

    /**
     * The rules read so far.
     */
    private final List<Rule> rules = new ArrayList<>();

    /**
     * The line of each rule read so far, by the rule's key.
     */
    private final Map<String, Integer> lines = new HashMap<>();

    /**
     * Made by the static methods only.
     */
    private RulesParser() {}

    /**
     * Reads a file.
     *
     * @param bytes the file's content
     * @return the rules in the order of their lines
     * @throws InvalidRulesException if any line is wrong
     */
    public static List<Rule> parse(byte[] bytes) throws InvalidRulesException {
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            return parse(text);
        } catch (CharacterCodingException exception) {
            RuleError error = new RuleError(1, 1, RuleProblem.BAD_TEXT, "the file is not UTF-8: save it as UTF-8");
            throw new InvalidRulesException(List.of(error));
        }
    }

    /**
     * Reads rules.
     *
     * @param text the rules, one a line
     * @return the rules in the order of their lines
     * @throws InvalidRulesException if any line is wrong
     */
    public static List<Rule> parse(String text) throws InvalidRulesException {
        RulesParser parser = new RulesParser();
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            parser.readLine(number, line);
            if (parser.errors.size() >= Limits.MAX_ERRORS) {
                break;
            }
        }
        if (!parser.errors.isEmpty()) {
            throw new InvalidRulesException(parser.errors);
        }
        return List.copyOf(parser.rules);
    }

    /**
     * Reads one line.
     *
     * @param number the line's number
     * @param line   the line
     */
    private void readLine(int number, String line) {
        int badColumn = badCharacter(line);
        if (badColumn > 0) {
            fail(
                    number,
                    badColumn,
                    RuleProblem.BAD_TEXT,
                    "a control character (a carriage return, perhaps): end "
                            + "lines with a line feed alone and separate words by spaces");
        } else if (line.length() > Limits.MAX_LINE_CHARACTERS || rules.size() >= Limits.MAX_RULES) {
            fail(
                    number,
                    1,
                    RuleProblem.TOO_LARGE,
                    "a line of over " + Limits.MAX_LINE_CHARACTERS + " characters or a file of over " + Limits.MAX_RULES
                            + " rules: shorten it");
        } else if (!line.isBlank() && !line.strip().startsWith("#")) {
            readRule(number, line);
        }
    }

    /**
     * Finds the first control character but a tab.
     *
     * @param line the line
     * @return its column, or 0
     */
    private static int badCharacter(String line) {
        for (int index = 0; index < line.length(); index++) {
            char character = line.charAt(index);
            if (Character.isISOControl(character) && character != '\t') {
                return index + 1;
            }
        }
        return 0;
    }

    /**
     * Reads a line that holds a rule.
     *
     * @param number the line's number
     * @param line   the line
     */
    private void readRule(int number, String line) {
        int hash = line.indexOf('#');
        String askedBy = hash < 0 ? "" : line.substring(hash + 1).strip();
        if (askedBy.isEmpty()) {
            fail(
                    number,
                    line.length() + 1,
                    RuleProblem.NOBODY_ASKED,
                    "no comment says who asked for this rule: end " + "the line with '# name'");
            return;
        }
        List<Word> words = Word.split(line.substring(0, hash));
        Optional<RuleKind> kind = RuleKind.ofWord(words.get(0).text());
        if (kind.isEmpty()) {
            fail(
                    number,
                    words.get(0).column(),
                    RuleProblem.UNKNOWN_KIND,
                    "'" + words.get(0).text() + "' is no kind of rule: use one of " + knownKinds());
            return;
        }
        if (words.size() < 2 || !AttributeTypes.isName(words.get(1).text())) {
            fail(
                    number,
                    words.get(0).column(),
                    RuleProblem.BAD_ID,
                    "the second word of a rule is its name, of 1 to "
                            + "63 letters, digits, dots, hyphens or underscores");
            return;
        }
        int before = errors.size();
        Map<String, String> attributes = readAttributes(number, kind.get(), words.subList(2, words.size()));
        if (errors.size() == before) {
            add(new Rule(kind.get(), words.get(1).text(), attributes, askedBy, number, line.strip()));
        }
    }

    /**
     * Reads the attributes of a rule.
     *
     * @param number the line's number
     * @param kind   the rule's kind
     * @param words  the words behind the rule's name
     * @return the attributes given
     */
    private Map<String, String> readAttributes(int number, RuleKind kind, List<Word> words) {
        Map<String, String> attributes = new HashMap<>();
        for (Word word : words) {
            int equals = word.text().indexOf('=');
            String name = equals < 0 ? word.text() : word.text().substring(0, equals);
            Optional<AttributeSpec> spec = kind.attribute(name);
            if (equals < 0 || spec.isEmpty() || attributes.containsKey(name)) {
                fail(
                        number,
                        word.column(),
                        RuleProblem.BAD_ATTRIBUTE,
                        "'" + word.text() + "' is not an attribute of " + kind.word()
                                + " that may stand here: use each at most once of " + attributeNames(kind));
                continue;
            }
            String value = word.text().substring(equals + 1);
            Optional<String> wanted = spec.get().type().problemWith(value);
            wanted.ifPresent(want ->
                    fail(number, word.column(), RuleProblem.BAD_VALUE, name + "='" + value + "' is not " + want));
            attributes.put(name, value);
        }
        for (AttributeSpec spec : kind.attributes()) {
            if (spec.defaultValue().isEmpty() && !attributes.containsKey(spec.name())) {
                fail(number, 1, RuleProblem.MISSING_ATTRIBUTE, kind.word() + " needs " + spec.name() + "=...");
            }
        }
        return attributes;
    }

    /**
     * Adds a rule unless its key stands already.
     *
     * @param rule the rule
     */
    private void add(Rule rule) {
        Integer earlier = lines.putIfAbsent(rule.key(), rule.line());
        if (earlier != null) {
            fail(
                    rule.line(),
                    1,
                    RuleProblem.DUPLICATE,
                    "'" + rule.key() + "' stands on line " + earlier + " already: rename or remove one");
            return;
        }
        rules.add(rule);
    }

    /**
     * Notes an error.
     *
     * @param line    the line's number
     * @param column  the column
     * @param problem the kind of error
     * @param message what is wrong, and the remedy
     */
    private void fail(int line, int column, RuleProblem problem, String message) {
        errors.add(new RuleError(line, column, problem, message));
    }

    /**
     * Lists the kinds of rules.
     *
     * @return their words
     */
    private static String knownKinds() {
        List<String> words = new ArrayList<>();
        for (RuleKind kind : RuleKind.values()) {
            words.add(kind.word());
        }
        return String.join(", ", words);
    }

    /**
     * Lists the attributes of a kind.
     *
     * @param kind the kind
     * @return their names
     */
    private static String attributeNames(RuleKind kind) {
        List<String> names = kind.attributes().stream().map(AttributeSpec::name).toList();
        return names.isEmpty() ? "(none)" : String.join(", ", names);
    }
}
