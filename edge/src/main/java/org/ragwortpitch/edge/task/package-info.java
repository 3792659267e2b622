/**
 * Running of tasks on event loops.
 */
package org.ragwortpitch.edge.task;
