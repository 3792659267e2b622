/**
 * Admission of generations while the engines have too little room: whether a request fits an engine, the fair order of
 * the requests that wait, until when waiting is of use, and when refused callers are asked to come back.
 */
package org.ragwortpitch.admission;
