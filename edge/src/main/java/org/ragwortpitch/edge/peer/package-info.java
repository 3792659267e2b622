/**
 * What daemons tell each other.
 */
package org.ragwortpitch.edge.peer;
