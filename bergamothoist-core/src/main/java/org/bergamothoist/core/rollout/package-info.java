/** Rolling updates of model weights on engines, a few engines at a time. */
package org.bergamothoist.core.rollout;
