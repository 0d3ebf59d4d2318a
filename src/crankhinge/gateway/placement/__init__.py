"""Placement of streams on engines, coordinated between the instances.

For each group of engines of a service, one instance coordinates: it tracks which runs are on which
engine and which requests wait. The decisions are in ``crankhinge.decisions.placement``; this
package carries them between the instances.
"""
