package org.bergamothoist.daemon.operator;

import jakarta.ws.rs.NameBinding;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks resources that need an operator key. The mark is bound to the resource instead of its path,
 * so that no spelling of a path avoids the check.
 */
@NameBinding
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface OperatorsOnly {}
