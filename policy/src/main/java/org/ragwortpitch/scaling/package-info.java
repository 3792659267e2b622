/**
 * Planning of the number of endpoints, their failure domains, supply and roles.
 */
package org.ragwortpitch.scaling;
