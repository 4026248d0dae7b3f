package org.bergamothoist.core.rollout;

import org.bergamothoist.core.fleet.RegisteredTarget;

/** A command to an engine to load a version of a model's weights. */
public record WeightOrder(RegisteredTarget engine, String model, int version) {}
