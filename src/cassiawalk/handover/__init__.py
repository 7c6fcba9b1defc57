"""Hands accepted requests over from a leaving host to others, and locates them afterwards."""

from cassiawalk.handover.drain import DrainController as DrainController
from cassiawalk.handover.locations import Locator as Locator
from cassiawalk.handover.messages import AnnounceCall as AnnounceCall
from cassiawalk.handover.messages import HandoverOffer as HandoverOffer
from cassiawalk.handover.messages import HandoverWithdrawal as HandoverWithdrawal
from cassiawalk.handover.messages import RecordsOffer as RecordsOffer
from cassiawalk.handover.outcomes import OutcomeHandover as OutcomeHandover
from cassiawalk.handover.receiver import HandoverReceiver as HandoverReceiver
from cassiawalk.handover.sender import HandoverSender as HandoverSender
from cassiawalk.handover.targets import TargetSelector as TargetSelector
