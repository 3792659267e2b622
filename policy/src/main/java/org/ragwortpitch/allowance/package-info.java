/**
 * What all daemons together may let accounts spend, and how often they may send a request again.
 */
package org.ragwortpitch.allowance;
