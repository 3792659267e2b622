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
 * Parses rules of the form {@code kind id name=value ... # requester}, one per line. Blank lines and lines with only a
 * comment are skipped.
 */
public final class RulesParser {

    private final List<RuleError> errors = new ArrayList<>();

    private final List<Rule> rules = new ArrayList<>();

    /**
     * The line number of each parsed rule, by the rule's key.
     */
    private final Map<String, Integer> lineByKey = new HashMap<>();

    private RulesParser() {}

    /**
     * Parses a file.
     *
     * @param bytes the file's content, in UTF-8
     * @return the rules in file order
     * @throws InvalidRulesException if any line is invalid
     */
    public static List<Rule> parse(byte[] bytes) throws InvalidRulesException {
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            return parse(text);
        } catch (CharacterCodingException exception) {
            RuleError error =
                    new RuleError(1, 1, RuleProblem.BAD_TEXT, "the file is not valid UTF-8: save it as UTF-8");
            throw new InvalidRulesException(List.of(error));
        }
    }

    /**
     * Parses text.
     *
     * @param text the rules, one per line
     * @return the rules in file order
     * @throws InvalidRulesException if any line is invalid; parsing stops at {@code Limits.MAX_ERRORS} errors
     */
    public static List<Rule> parse(String text) throws InvalidRulesException {
        RulesParser parser = new RulesParser();
        int lineNumber = 0;
        for (String line : text.split("\n", -1)) {
            lineNumber++;
            parser.parseLine(lineNumber, line);
            if (parser.errors.size() >= Limits.MAX_ERRORS) {
                break;
            }
        }
        if (!parser.errors.isEmpty()) {
            throw new InvalidRulesException(parser.errors);
        }
        return List.copyOf(parser.rules);
    }

    private void parseLine(int lineNumber, String line) {
        int controlColumn = controlCharacterColumn(line);
        if (controlColumn > 0) {
            addError(
                    lineNumber,
                    controlColumn,
                    RuleProblem.BAD_TEXT,
                    "the line contains a control character (possibly a carriage return): end "
                            + "lines with a line feed only and separate words with spaces");
        } else if (line.length() > Limits.MAX_LINE_CHARACTERS || rules.size() >= Limits.MAX_RULES) {
            addError(
                    lineNumber,
                    1,
                    RuleProblem.TOO_LARGE,
                    "the line exceeds " + Limits.MAX_LINE_CHARACTERS + " characters or the file exceeds "
                            + Limits.MAX_RULES + " rules: shorten it");
        } else if (!line.isBlank() && !line.strip().startsWith("#")) {
            parseRule(lineNumber, line);
        }
    }

    /**
     * Returns the column of the first control character other than a tab, or 0 if there is none.
     */
    private static int controlCharacterColumn(String line) {
        for (int index = 0; index < line.length(); index++) {
            char character = line.charAt(index);
            if (Character.isISOControl(character) && character != '\t') {
                return index + 1;
            }
        }
        return 0;
    }

    private void parseRule(int lineNumber, String line) {
        int hash = line.indexOf('#');
        String askedBy = hash < 0 ? "" : line.substring(hash + 1).strip();
        if (askedBy.isEmpty()) {
            addError(
                    lineNumber,
                    line.length() + 1,
                    RuleProblem.NOBODY_ASKED,
                    "the rule has no comment that names its requester: end " + "the line with '# name'");
            return;
        }
        List<Word> words = Word.split(line.substring(0, hash));
        Optional<RuleKind> kind = RuleKind.ofKeyword(words.get(0).text());
        if (kind.isEmpty()) {
            addError(
                    lineNumber,
                    words.get(0).column(),
                    RuleProblem.UNKNOWN_KIND,
                    "'" + words.get(0).text() + "' is not a rule kind: use one of " + kindKeywords());
            return;
        }
        if (words.size() < 2 || !AttributeTypes.isName(words.get(1).text())) {
            addError(
                    lineNumber,
                    words.get(0).column(),
                    RuleProblem.BAD_ID,
                    "the second word of a rule must be its id: 1 to "
                            + "63 letters, digits, dots, hyphens or underscores");
            return;
        }
        int errorsBefore = errors.size();
        Map<String, String> attributes = parseAttributes(lineNumber, kind.get(), words.subList(2, words.size()));
        if (errors.size() == errorsBefore) {
            add(new Rule(kind.get(), words.get(1).text(), attributes, askedBy, lineNumber, line.strip()));
        }
    }

    /**
     * Parses the attributes of a rule and checks that all required ones are given.
     *
     * @param words the words after the rule's id
     */
    private Map<String, String> parseAttributes(int lineNumber, RuleKind kind, List<Word> words) {
        Map<String, String> attributes = new HashMap<>();
        for (Word word : words) {
            int equals = word.text().indexOf('=');
            String name = equals < 0 ? word.text() : word.text().substring(0, equals);
            Optional<AttributeSpec> spec = kind.attribute(name);
            if (equals < 0 || spec.isEmpty() || attributes.containsKey(name)) {
                addError(
                        lineNumber,
                        word.column(),
                        RuleProblem.BAD_ATTRIBUTE,
                        "'" + word.text() + "' is an unknown, malformed or duplicate attribute of " + kind.keyword()
                                + ": give each of these at most once, as name=value: " + attributeNames(kind));
                continue;
            }
            String value = word.text().substring(equals + 1);
            Optional<String> expected = spec.get().type().expectedFormIfInvalid(value);
            expected.ifPresent(form -> addError(
                    lineNumber, word.column(), RuleProblem.BAD_VALUE, name + "='" + value + "' is not " + form));
            attributes.put(name, value);
        }
        for (AttributeSpec spec : kind.attributes()) {
            if (spec.defaultValue().isEmpty() && !attributes.containsKey(spec.name())) {
                addError(
                        lineNumber,
                        1,
                        RuleProblem.MISSING_ATTRIBUTE,
                        kind.keyword() + " requires " + spec.name() + "=...");
            }
        }
        return attributes;
    }

    /**
     * Adds a rule unless its key is already defined.
     */
    private void add(Rule rule) {
        Integer earlier = lineByKey.putIfAbsent(rule.key(), rule.line());
        if (earlier != null) {
            addError(
                    rule.line(),
                    1,
                    RuleProblem.DUPLICATE,
                    "'" + rule.key() + "' is already defined on line " + earlier + ": rename or remove one of them");
            return;
        }
        rules.add(rule);
    }

    private void addError(int line, int column, RuleProblem problem, String message) {
        errors.add(new RuleError(line, column, problem, message));
    }

    private static String kindKeywords() {
        List<String> keywords = new ArrayList<>();
        for (RuleKind kind : RuleKind.values()) {
            keywords.add(kind.keyword());
        }
        return String.join(", ", keywords);
    }

    private static String attributeNames(RuleKind kind) {
        List<String> names = kind.attributes().stream().map(AttributeSpec::name).toList();
        return names.isEmpty() ? "(none)" : String.join(", ", names);
    }
}
