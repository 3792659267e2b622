package org.ragwortpitch.deployment;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the addresses that endpoints and daemons state of themselves: an IPv4 address and a port. Names are refused,
 * as looking one up would block the thread that connects.
 */
public final class HostAndPort {

    private static final Pattern FORM = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    private static final int OCTETS = 4;

    private static final int MAX_OCTET = 255;

    private static final int MAX_PORT = 65_535;

    private HostAndPort() {}

    /**
     * Returns whether a connection to an address can be tried.
     */
    public static boolean isValid(String address) {
        Matcher matcher = FORM.matcher(address);
        if (!matcher.matches()) {
            return false;
        }
        for (int octet = 1; octet <= OCTETS; octet++) {
            if (Integer.parseInt(matcher.group(octet)) > MAX_OCTET) {
                return false;
            }
        }
        return isPort(Integer.parseInt(matcher.group(OCTETS + 1)));
    }

    /**
     * Returns whether a number is a port that a connection can be opened to.
     */
    public static boolean isPort(int number) {
        return number >= 1 && number <= MAX_PORT;
    }

    /**
     * Returns an address.
     *
     * @throws IllegalArgumentException if it is not valid
     */
    public static String require(String address) {
        if (!isValid(address)) {
            throw new IllegalArgumentException(
                    "address is " + address + "; expected IP:PORT with octets up to 255 and a port from 1 to 65535");
        }
        return address;
    }
}
