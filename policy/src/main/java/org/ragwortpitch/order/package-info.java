/**
 * Orders to endpoints and to the platform. The intent of each order is written to the log before the order is sent.
 */
package org.ragwortpitch.order;
