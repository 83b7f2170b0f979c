/**
 * Steps of samples for trainers.
 *
 * @module
 */

export { Bitmap, type Cursor, CursorCodec, type Handover } from "./cursor.ts";
export { oldestVersion, type Sample, type Span } from "./sample.ts";
export { ListedOrder, LongestFirst, Sequence } from "./sequence.ts";
export { type Group, parseSubmission, type Spec, stepName } from "./spec.ts";
export { type Delivery, type Progress, Step } from "./step.ts";
export { Steps, stepsKey } from "./steps.ts";
export { Trainer, type TrainerSample } from "./trainer.ts";
