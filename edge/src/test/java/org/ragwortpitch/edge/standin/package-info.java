/**
 * In-process test doubles of the platform and of endpoints.
 */
package org.ragwortpitch.edge.standin;
