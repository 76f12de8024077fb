"""Demos that run small fleets on one machine."""
