/**
 * Orders to endpoints and to the platform, each stated in the log before it is sent.
 */
package org.ragwortpitch.order;
