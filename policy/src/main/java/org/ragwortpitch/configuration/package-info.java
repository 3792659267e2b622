/**
 * The operators' rules: a text file with one rule per line, each with a comment that names its requester.
 */
package org.ragwortpitch.configuration;
