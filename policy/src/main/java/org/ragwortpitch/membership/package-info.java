/**
 * The membership of daemons, and the lease under which each may act as a member.
 */
package org.ragwortpitch.membership;
