/**
 * In-memory stand-ins for the platform, engines and plain services, and a fault-injecting proxy, for the demo and for
 * tests.
 */
package org.ragwortpitch.standin;
