/**
 * What daemons learn from the store, and duties that one of them has.
 */
package org.ragwortpitch.edge.control;
