/**
 * What callers are told when a request is not answered as they wished.
 */
package org.ragwortpitch.answer;
