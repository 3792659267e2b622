/**
 * Choice of the engines that prefill and decode a generation.
 */
package org.ragwortpitch.placement;
