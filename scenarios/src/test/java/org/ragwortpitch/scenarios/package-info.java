/**
 * Scenarios with real daemon processes, whose every connection goes through a proxy that injects faults.
 */
package org.ragwortpitch.scenarios;
