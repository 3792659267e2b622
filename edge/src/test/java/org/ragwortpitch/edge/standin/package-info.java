/**
 * Small stand-ins for the platform and endpoints, for tests in one process.
 */
package org.ragwortpitch.edge.standin;
