/**
 * Which daemons are members, and how long each may believe to be one.
 */
package org.ragwortpitch.membership;
