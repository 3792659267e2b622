package org.ragwortpitch.client;

/**
 * A key as it is told once.
 *
 * @param id  the name of its rule
 * @param key the key in clear
 */
record CreatedKey(String id, String key) {}
