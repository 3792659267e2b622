/**
 * The immutable model of a deployment: routes, pools and accounts as configured,
 * and endpoints as the platform lists them.
 */
package org.ragwortpitch.deployment;
