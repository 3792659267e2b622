/**
 * Which software version a stream that is taken up goes on at: what two versions write doesn't fit together.
 */
package org.ragwortpitch.resumption;
