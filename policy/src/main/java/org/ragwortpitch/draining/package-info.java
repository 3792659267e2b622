/**
 * What a daemon that stops still takes.
 */
package org.ragwortpitch.draining;
