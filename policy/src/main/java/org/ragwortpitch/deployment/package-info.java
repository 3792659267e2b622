/**
 * What operators ask for and what the platform lists: routes, pools, accounts, endpoints.
 */
package org.ragwortpitch.deployment;
