/**
 * Admits requests within their client account's quota, which is charged locally or borrowed from its owner.
 */
package org.ragwortpitch.admission;
