/**
 * Whether a daemon reaches the endpoints of a pool, and which daemon serves its callers if it doesn't.
 */
package org.ragwortpitch.contact;
