/**
 * Which engine reads a prompt and which makes its tokens.
 */
package org.ragwortpitch.placement;
