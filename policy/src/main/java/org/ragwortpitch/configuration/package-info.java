/**
 * The operators' rules: a text file, one rule a line, each with a comment that says who asked for it.
 */
package org.ragwortpitch.configuration;
