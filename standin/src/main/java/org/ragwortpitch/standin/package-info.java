/**
 * Small stand-ins for the platform and the endpoints, for the demo and for tests. They keep all they know in memory.
 */
package org.ragwortpitch.standin;
