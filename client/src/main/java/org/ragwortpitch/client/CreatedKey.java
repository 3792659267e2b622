package org.ragwortpitch.client;

/**
 * JSON output of {@code key create}, the only time an API key is shown in clear.
 *
 * @param id  the id of the key's rule
 * @param key the key in clear
 */
record CreatedKey(String id, String key) {}
