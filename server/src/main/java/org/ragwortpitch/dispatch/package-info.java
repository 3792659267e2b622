/**
 * Hands requests to endpoints: waits in turn, chooses, tries again, and checks answers.
 */
package org.ragwortpitch.dispatch;
