package org.ragwortpitch.configuration;

/**
 * What a pool's endpoints serve.
 */
public enum PoolKind {
    /**
     * A language model.
     */
    MODEL,
    /**
     * A plain HTTP service.
     */
    SERVICE
}
