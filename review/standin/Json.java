import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the small JSON bodies of the stand-ins. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static long number(Object value) {
        return ((Number) value).longValue();
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((key, field) -> fields.add(write(key) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        if (value instanceof String string) {
            return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
        return String.valueOf(value);
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            at++;
            Map<String, Object> map = new LinkedHashMap<>();
            while (next() != '}') {
                String key = string();
                next();
                at++;
                map.put(key, value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (first == '[') {
            at++;
            List<Object> list = new ArrayList<>();
            while (next() != ']') {
                list.add(value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private String string() {
        next();
        at++;
        StringBuilder result = new StringBuilder();
        while (text.charAt(at) != '"') {
            if (text.charAt(at) == '\\') {
                at++;
            }
            result.append(text.charAt(at++));
        }
        at++;
        return result.toString();
    }
}
