/**
 * The daemon on the users' platform.
 */
package org.ragwortpitch.edge;
