"""Tests of foxtailsaddle."""
